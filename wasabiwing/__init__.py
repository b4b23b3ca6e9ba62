"""Serving system for language models and plain services on VMs."""

__version__ = "0.1.0"

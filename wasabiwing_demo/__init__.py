"""The demo, a deployment on loopback, and the generator of traces."""

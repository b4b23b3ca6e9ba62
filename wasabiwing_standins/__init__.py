"""Stand-ins for external systems, which serve their protocols.

The demo, the tests and the benchmarks use the stand-ins over real sockets. A
fault of a stand-in is switched on by setting one of its attributes.
"""

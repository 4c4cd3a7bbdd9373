"""Listening sockets and their connections, shared by both programs.

What connections make a process hold counts in one budget: memory, descriptors
and turns of the event loop.
"""

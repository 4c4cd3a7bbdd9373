"""Encoding of records to bytes and decoding of bytes to records."""

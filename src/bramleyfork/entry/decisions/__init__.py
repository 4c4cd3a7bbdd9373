"""Decision logic of the entry host, free of message encodings and clocks."""

"""Runs the platform stand-in: python -m standins.platform --settings FILE."""

from standins import processes
from standins.platform import program

if __name__ == "__main__":
    processes.run(lambda document: program.Program(document=document))

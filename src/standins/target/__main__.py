"""Runs the target stand-in: python -m standins.target --settings FILE."""

from standins import processes
from standins.target import program

if __name__ == "__main__":
    processes.run(lambda document: program.Program(document=document))

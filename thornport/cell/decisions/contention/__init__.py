"""Decisions while work competes for too little room: pure, and called by the passes.

Each module has one policy. It takes what it needs and returns what to do; it changes no
state of a worker, a run or a step.
"""

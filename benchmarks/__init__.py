"""Benchmarks of the project; each module is a program with its usage in its docstring."""

"""What the processes of a cell tell and ask one another."""

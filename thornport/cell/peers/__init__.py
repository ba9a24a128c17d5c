"""Messages between the processes of a cell and their handling."""

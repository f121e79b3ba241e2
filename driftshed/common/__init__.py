"""What every command of the program shares: flags that are also read from the environment, and logs."""

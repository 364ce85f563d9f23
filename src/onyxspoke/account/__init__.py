"""Job accounting: reconstructs from the logs of all nodes how each job spent its time."""

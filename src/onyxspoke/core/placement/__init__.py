"""Where runs go: room of workers, order of waiting steps, advice on policy."""

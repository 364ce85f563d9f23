"""The entry process: wires the core to the network adapters."""

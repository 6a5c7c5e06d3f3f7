"""The backend servers beside this node, and the gate before them."""

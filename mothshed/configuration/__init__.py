"""What operators say: settings, the configuration document and its changes, manifests, the lease."""

"""What is known of replicas: the list, their load and condition, the verdict on a send, who leads each service part."""

"""What the platform's store holds, and how recent that knowledge is."""

"""Choice of replicas: state, load and limits of replicas, and admission."""

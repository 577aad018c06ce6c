"""Routes and pools: commit, adoption, history and audit."""

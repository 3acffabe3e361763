"""Network connections and background tasks shared by all processes."""

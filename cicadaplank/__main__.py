"""Command line of the system: ``python -m cicadaplank``."""

from cicadaplank.cli import main

if __name__ == "__main__":
    main.main()

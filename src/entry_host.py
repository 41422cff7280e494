"""Start one entry host for routed requests."""

import gc


def run() -> None:
    """Import the daemon without collecting garbage, then run it."""
    # What an import creates stays, so collections would traverse it in vain.
    gc.disable()
    from amaranthferry.gateway.daemon import main

    gc.freeze()
    gc.enable()
    main()


if __name__ == "__main__":
    run()

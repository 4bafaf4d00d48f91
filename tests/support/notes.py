"""Release notes shared by the tests."""

from bilberrypath.state.release import DataCentre, ReleaseNote, Service

CENTRES = ("atlantic", "citybowl", "winelands")


def first_note(note_id="n1"):
    """Return a note that adds three data centres and the two services on them."""
    return ReleaseNote(
        note_id,
        added_data_centres=tuple(DataCentre(name) for name in CENTRES),
        added_services=(
            Service("dispatch", 9443, CENTRES),
            Service("photos", 9444, CENTRES),
        ),
    )


def out_note(note_id, centre="citybowl", out=True):
    """Return a note that takes a data centre out, or puts it back in."""
    return ReleaseNote(note_id, changed_data_centres=(DataCentre(centre, out=out),))

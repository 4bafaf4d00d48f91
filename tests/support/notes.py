"""Release notes that tests share."""

from bilberrypath.state.release import DataCentre, ReleaseNote, Service

CENTRES = ("atlantic", "citybowl", "winelands")


def first_note(note_id="n1"):
    """Add three data centres, dispatch and photos."""
    return ReleaseNote(
        note_id,
        added_data_centres=tuple(DataCentre(name) for name in CENTRES),
        added_services=(
            Service("dispatch", 9443, CENTRES),
            Service("photos", 9444, CENTRES),
        ),
    )


def out_note(note_id, centre="citybowl", out=True):
    """Take a data centre out, or bring it back."""
    return ReleaseNote(note_id, changed_data_centres=(DataCentre(centre, out=out),))

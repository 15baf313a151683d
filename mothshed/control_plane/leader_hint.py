"""Which leader of a part may be named to those who ask at another member."""

import mothshed.constants as constants


def recent_leader(member):
    """The id of a leader other than this member that was heard of lately, or ""."""
    if not member.leader or member.leader == member.who:
        return ""
    if member.desk.now() - member.heard >= constants.LEADER_HINT_MAX_AGE_S:
        return ""
    return member.leader


def leader_address(member):
    """The address of that leader for records between processes, or ""."""
    leader = recent_leader(member)
    return member.place_of(leader) if leader else ""

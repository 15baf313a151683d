"""Which leader of a part may be named to those who ask at another member."""

import mothshed.constants as constants


def recent_leader(member):
    """The id of a leader other than this member that was heard of lately, or ""."""
    if not member.leader or member.leader == member.member_id:
        return ""
    if member.environment.now() - member.last_contact >= constants.LEADER_HINT_MAX_AGE_S:
        return ""
    return member.leader


def leader_address(member):
    """The address of that leader for records between processes, or ""."""
    leader = recent_leader(member)
    return member.address_of(leader) if leader else ""

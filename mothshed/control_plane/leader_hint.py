"""The leader to which a member that does not lead refers clients."""

import mothshed.constants as constants


def recent_leader(member):
    """The id of another member known as leader by recent contact, or ""."""
    if not member.leader or member.leader == member.member_id:
        return ""
    if member.environment.now() - member.last_contact >= constants.LEADER_HINT_MAX_AGE_S:
        return ""
    return member.leader


def leader_address(member):
    """The address for records between processes of the leader given by recent_leader, or ""."""
    leader = recent_leader(member)
    return member.address_of(leader) if leader else ""

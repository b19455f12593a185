// Calls to the current owner of a job shard.
#pragma once

#include "app/control_plane.h"
#include "peer/link.h"

namespace monsoon {

// Calls the owner of aShard, and retries while the shard has no acting owner or the owner can't be
// reached. After aTimeout it fails with the last failure. Only for requests that are safe to
// repeat: JobSubmit, JobCancel, JobQuery and JobList are.
Async<Result<PeerReply>> CallShardOwner(PeerLink& aLink,
                                        const ControlPlane& aControl,
                                        ShardIndex aShard,
                                        PeerRequest aRequest,
                                        Duration aTimeout);

}  // namespace monsoon

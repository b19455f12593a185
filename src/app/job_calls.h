// Calls to the owner of a job shard, wherever it is just now.
#pragma once

#include "app/control_plane.h"
#include "peer/link.h"

namespace monsoon {

// Repeats the call while the shard has no acting owner or it can't be reached, until aDeadline.
// Only for requests that may be repeated: all of JobSubmit, JobCancel, JobQuery and JobList may.
// Fails with the last failure.
Async<Result<PeerReply>> CallShardOwner(PeerLink& aLink,
                                        const ControlPlane& aControl,
                                        ShardIndex aShard,
                                        PeerRequest aRequest,
                                        Duration aTimeout);

}  // namespace monsoon

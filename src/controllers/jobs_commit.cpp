#include "controllers/jobs_commit.h"

namespace monsoon {

bool IsCertainlyNotRun(FailureKind aKind) noexcept
{
  switch (aKind) {
    case FailureKind::EndpointRefused:
    case FailureKind::EndpointUnreachable:
    case FailureKind::PeerUnreachable:
    case FailureKind::NotOwner:
    case FailureKind::Fenced:
    case FailureKind::NotFound:
    case FailureKind::NotReady:
    case FailureKind::BadInput:
    case FailureKind::Draining:
      return true;
    default:
      return false;
  }
}

std::string DescribeNoCapacity(const FitReply& aReply)
{
  return std::to_string(aReply.mFullNow) + " workers are full, " +
         std::to_string(aReply.mNeverFits) + " too small, " + std::to_string(aReply.mExcluded) +
         " excluded";
}

}  // namespace monsoon

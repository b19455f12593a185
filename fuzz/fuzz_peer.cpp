// Peer messages: bytes of any kind become a message or a typed failure, and a message that was read
// survives being written and read again.
#include <cstdlib>

#include "peer/codec.h"

using namespace monsoon;

namespace {

template<class T>
void CheckStable(const Result<T>& aDecoded, Result<T> (*aDecode)(std::span<const char>))
{
  if (!aDecoded)
    return;
  const std::string once = Encode(*aDecoded);
  const auto again = aDecode(once);
  if (!again || Encode(*again) != once)
    std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0)
    return 0;
  const std::span<const char> bytes(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  switch (aData[0] % 3) {
    case 0:
      CheckStable(DecodeHeartbeat(bytes), &DecodeHeartbeat);
      break;
    case 1:
      CheckStable(DecodeRequest(bytes), &DecodeRequest);
      break;
    default:
      CheckStable(DecodeReply(bytes), &DecodeReply);
      break;
  }
  return 0;
}

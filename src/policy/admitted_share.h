// Learns which share of the workers that a policy call names the policy service admits, by queue.
// Calls take longer the more workers they name, and a call that names too few is made twice.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace monsoon {

class AdmittedShares
{
public:
  void Record(const std::string& aQueue, std::size_t aNamed, std::size_t aAdmitted);
  // Returns the expected share, above 0; a low one while little is known.
  [[nodiscard]] double Get(const std::string& aQueue) const;

private:
  struct Counts
  {
    double mNamed = 0;
    double mAdmitted = 0;
  };
  std::map<std::string, Counts> mCounts{};
};

}  // namespace monsoon

#include "fleet/config_check.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace monsoon::fleet {

namespace {

class Findings
{
public:
  void AddError(std::string aText) { mItems.push_back({ true, std::move(aText) }); }
  void AddWarning(std::string aText) { mItems.push_back({ false, std::move(aText) }); }
  std::vector<ConfigFinding> Take() { return std::move(mItems); }

private:
  std::vector<ConfigFinding> mItems{};
};

std::string Quote(std::string_view aName)
{
  return "\"" + std::string(aName) + "\"";
}

std::string FormatNumber(double aNumber)
{
  char text[32];
  std::snprintf(text, sizeof text, "%g", aNumber);
  return text;
}

std::string FormatMillis(Duration aTime)
{
  return FormatNumber(std::chrono::duration<double, std::milli>(aTime).count()) + " ms";
}

std::string FormatLimit(std::int64_t aLimit)
{
  return aLimit == 0 ? "none" : std::to_string(aLimit);
}

// Reports the names that occur twice.
template<class T>
void CheckNames(const std::vector<T>& aItems, const std::string& aKind, Findings& aFindings)
{
  std::set<std::string> seen;
  for (const T& it : aItems)
    if (!seen.insert(it.mName).second)
      aFindings.AddError(aKind + " " + Quote(it.mName) + ": the name occurs twice");
}

// Reports queues that no request selects; see Entry::FindQueue.
void CheckMatches(const FleetConfig& aConfig, Findings& aFindings)
{
  std::map<std::pair<std::string, std::string>, std::string> seen;
  for (const QueueConfig& it : aConfig.mQueues) {
    const std::string queue = "queue " + Quote(it.mName);
    const auto [first, isNew] = seen.try_emplace({ it.mHost, it.mPrefix }, it.mName);
    if (!isNew)
      aFindings.AddError(queue + ": never matches, as queue " + Quote(first->second) +
                         " has the same host and prefix");
    if (it.mHost.empty() || it.mHost.find(':') != std::string::npos)
      aFindings.AddError(queue + ": never matches, as its host is " + Quote(it.mHost) +
                         "; a host without a port is needed");
    if (!it.mPrefix.starts_with('/'))
      aFindings.AddError(queue + ": never matches, as its prefix doesn't begin with a slash");
  }
}

void CheckQueues(const FleetConfig& aConfig, Findings& aFindings)
{
  std::set<std::string> used;
  for (const QueueConfig& it : aConfig.mQueues) {
    const std::string queue = "queue " + Quote(it.mName);
    used.insert(it.mService);
    if (std::find(aConfig.mServices.begin(), aConfig.mServices.end(), it.mService) ==
        aConfig.mServices.end())
      aFindings.AddError(queue + ": its service " + Quote(it.mService) + " is not listed");
    if (it.mMaxAttempts == 0)
      aFindings.AddError(queue + ": no attempt is allowed, so no task can start");
    if (it.mStretch < 1)
      aFindings.AddWarning(queue + ": with a stretch of " + FormatNumber(it.mStretch) +
                           " jobs are due before their work can be done");
    if (it.mNeedsAdvice && it.mAdviceValid <= it.mAdviceBase)
      aFindings.AddError(queue + ": tickets are valid for " + FormatMillis(it.mAdviceValid) +
                         ", and a call that fetches them takes " + FormatMillis(it.mAdviceBase));
    if (aConfig.mIdleTimeout > Duration::zero() && it.mCallTimeout > aConfig.mIdleTimeout)
      aFindings.AddError(queue + ": its timeout of " + FormatMillis(it.mCallTimeout) +
                         " is above the limit of " + FormatMillis(aConfig.mIdleTimeout) +
                         " for idle connections");
    if (it.mIsAnonymous && !aConfig.mNeedsKeys)
      aFindings.AddWarning(queue + ": callers need no key anyway, as no teams are listed");
    if (!it.mIsAnonymous && aConfig.mNeedsKeys && aConfig.mTeams.empty())
      aFindings.AddError(queue + ": nobody can call it, as the list of teams is empty");
  }
  for (const std::string& it : aConfig.mServices)
    if (!used.contains(it))
      aFindings.AddWarning("service " + Quote(it) + ": no queue uses it");
}

void CheckTeams(const FleetConfig& aConfig, Findings& aFindings)
{
  std::map<std::string, std::string> holders;  // of keys
  for (const TeamConfig& it : aConfig.mTeams) {
    const std::string team = "team " + Quote(it.mName);
    if (it.mKeys.empty())
      aFindings.AddError(team + ": has no key, so nobody can call for it");
    if (!(it.mWeight > 0))
      aFindings.AddError(team + ": with a weight of " + FormatNumber(it.mWeight) +
                         " it has no share of a full service");
    for (const std::string& key : it.mKeys) {
      const auto [holder, isNew] = holders.try_emplace(key, it.mName);
      if (!isNew && holder->second == it.mName)
        aFindings.AddWarning(team + ": lists a key twice");
      else if (!isNew)
        aFindings.AddError(team + ": holds a key of team " + Quote(holder->second) + " as well");
    }
  }
}

template<class T>
const T* Find(const std::vector<T>& aItems, const std::string& aName)
{
  const auto it = std::find_if(
    aItems.begin(), aItems.end(), [&](const T& aItem) { return aItem.mName == aName; });
  return it == aItems.end() ? nullptr : &*it;
}

// Appends "WHAT: BEFORE to AFTER" to a list of differences unless both are equal.
void AddDifference(std::string& aList,
                   const char* aWhat,
                   const std::string& aBefore,
                   const std::string& aAfter)
{
  if (aBefore == aAfter)
    return;
  aList += aList.empty() ? "" : ", ";
  aList += std::string(aWhat) + " " + aBefore + " to " + aAfter;
}

std::string FormatAdviceTerms(const QueueTerms& aTerms)
{
  if (!aTerms.mNeedsAdvice)
    return "none";
  return FormatMillis(aTerms.mAdviceBase) + " and " + FormatMillis(aTerms.mAdvicePerWorker) +
         " for each worker, valid for " + FormatMillis(aTerms.mAdviceValid);
}

std::string Compare(const QueueConfig& aBefore, const QueueConfig& aAfter)
{
  std::string list;
  AddDifference(list, "host", Quote(aBefore.mHost), Quote(aAfter.mHost));
  AddDifference(list, "prefix", Quote(aBefore.mPrefix), Quote(aAfter.mPrefix));
  AddDifference(list, "service", Quote(aBefore.mService), Quote(aAfter.mService));
  AddDifference(
    list, "priority", std::to_string(aBefore.mPriority), std::to_string(aAfter.mPriority));
  AddDifference(
    list, "attempts", std::to_string(aBefore.mMaxAttempts), std::to_string(aAfter.mMaxAttempts));
  AddDifference(list, "stretch", FormatNumber(aBefore.mStretch), FormatNumber(aAfter.mStretch));
  AddDifference(list, "slack", FormatMillis(aBefore.mSlack), FormatMillis(aAfter.mSlack));
  AddDifference(
    list, "timeout", FormatMillis(aBefore.mCallTimeout), FormatMillis(aAfter.mCallTimeout));
  AddDifference(list, "advice", FormatAdviceTerms(aBefore), FormatAdviceTerms(aAfter));
  AddDifference(list,
                "callers",
                aBefore.mIsAnonymous ? "without a key" : "with a key",
                aAfter.mIsAnonymous ? "without a key" : "with a key");
  return list;
}

// Returns how many of aKeys are not among aOthers.
std::size_t CountNew(const std::vector<std::string>& aKeys, const std::vector<std::string>& aOthers)
{
  return static_cast<std::size_t>(
    std::count_if(aKeys.begin(), aKeys.end(), [&](const std::string& aKey) {
      return std::find(aOthers.begin(), aOthers.end(), aKey) == aOthers.end();
    }));
}

std::string Compare(const TeamConfig& aBefore, const TeamConfig& aAfter)
{
  std::string list;
  const TeamResources& before = aBefore.mLimit;
  const TeamResources& after = aAfter.mLimit;
  AddDifference(list, "weight", FormatNumber(aBefore.mWeight), FormatNumber(aAfter.mWeight));
  AddDifference(
    list, "limit of milli-cores", FormatLimit(before.mMilliCores), FormatLimit(after.mMilliCores));
  AddDifference(
    list, "limit of memory in MiB", FormatLimit(before.mMemoryMiB), FormatLimit(after.mMemoryMiB));
  AddDifference(list,
                "limit of accelerators",
                FormatLimit(before.mAccelerators),
                FormatLimit(after.mAccelerators));
  const std::size_t added = CountNew(aAfter.mKeys, aBefore.mKeys);
  const std::size_t revoked = CountNew(aBefore.mKeys, aAfter.mKeys);
  if (added + revoked == 0)
    return list;
  list += list.empty() ? "keys: " : ", keys: ";
  list.append(std::to_string(added)).append(" added, ");
  list.append(std::to_string(revoked)).append(" revoked, ");
  list.append(std::to_string(aAfter.mKeys.size() - added)).append(" kept");
  return list;
}

template<class T>
void CompareItems(const std::vector<T>& aBefore,
                  const std::vector<T>& aAfter,
                  const std::string& aKind,
                  std::vector<std::string>& aLines)
{
  const auto add = [&](const std::string& aName, const std::string& aText) {
    if (!aText.empty())
      aLines.push_back(aKind + " " + Quote(aName) + ": " + aText);
  };
  for (const T& it : aAfter) {
    const T* before = Find(aBefore, it.mName);
    add(it.mName, before ? Compare(*before, it) : "added");
  }
  for (const T& it : aBefore)
    if (!Find(aAfter, it.mName))
      add(it.mName, "removed");
}

}  // namespace

std::vector<ConfigFinding> CheckConfig(const FleetConfig& aConfig)
{
  Findings findings;
  CheckNames(aConfig.mQueues, "queue", findings);
  CheckNames(aConfig.mTeams, "team", findings);
  CheckMatches(aConfig, findings);
  CheckQueues(aConfig, findings);
  CheckTeams(aConfig, findings);
  return findings.Take();
}

std::vector<std::string> ListChanges(const FleetConfig& aInForce, const FleetConfig& aNext)
{
  std::vector<std::string> lines;
  CompareItems(aInForce.mQueues, aNext.mQueues, "queue", lines);
  for (const std::string& it : aNext.mServices)
    if (CountNew({ it }, aInForce.mServices) > 0)
      lines.push_back("service " + Quote(it) + ": added");
  for (const std::string& it : aInForce.mServices)
    if (CountNew({ it }, aNext.mServices) > 0)
      lines.push_back("service " + Quote(it) + ": removed");
  CompareItems(aInForce.mTeams, aNext.mTeams, "team", lines);
  if (aInForce.mNeedsKeys != aNext.mNeedsKeys)
    lines.push_back(aNext.mNeedsKeys ? "callers need keys now" : "callers need no keys any more");
  if (aInForce.mMaxBodyBytes != aNext.mMaxBodyBytes)
    lines.push_back("limit of a request: " + std::to_string(aInForce.mMaxBodyBytes) + " to " +
                    std::to_string(aNext.mMaxBodyBytes) + " bytes");
  if (aInForce.mIdleTimeout != aNext.mIdleTimeout)
    lines.push_back("limit of idle connections: " + FormatMillis(aInForce.mIdleTimeout) + " to " +
                    FormatMillis(aNext.mIdleTimeout));
  return lines;
}

}  // namespace monsoon::fleet

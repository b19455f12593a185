// Internal to the stand-in of the platform: what it keeps of its workers.
#pragma once

#include "standin/fleet.h"

namespace monsoon::standin {

struct FleetStandin::Running
{
  std::string mTask{};
  std::uint64_t mRun = 0;
  TimePoint mStartedAt{};
  TimePoint mEndAt{};
  Duration mLength{};  // of the whole task
  std::string mHow = "done";
};

struct FleetStandin::Ended
{
  std::uint64_t mNumber = 0;
  std::string mTask{};
  std::uint64_t mRun = 0;
  std::string mHow{};
  TimePoint mAt{};
  TimePoint mListedAt{};    // in its first report; zero: not yet
  bool mHasLapsed = false;  // the worker's lease has expired since
};

struct FleetStandin::Incarnation  // what a worker loses when it restarts
{
  TimePoint mBornAt = BootClock::now();
  std::int64_t mBornMs = 0;  // Unix ms
  std::uint32_t mMilliCores = 0;
  std::vector<std::pair<TimePoint, std::uint32_t>> mEarlierMilliCores{};  // until, capacity
  std::uint64_t mToken = 0;
  TimePoint mLeaseUntil{};
  std::vector<Running> mRunning{};
  std::vector<Ended> mEnded{};
  std::uint64_t mNextEnd = 1;
  std::map<std::string, std::uint64_t> mClosed{};
};

struct FleetStandin::WorkerState : Incarnation
{
  std::unique_ptr<HttpServer> mServer{};
  std::uint16_t mPort = 0;
  std::string mId{};
  std::uint32_t mLife = 0;
  bool mUp = true;
  bool mSilent = false;
  double mSlowCalls = 0;       // share of calls that take long on one of their two ways
  bool mHidden = false;        // it does not reach the store
  std::uint32_t mHidings = 0;  // times that it was hidden

  [[nodiscard]] std::int64_t GetClockMs() const
  {
    return (BootClock::now() - mBornAt) / milliseconds(1);
  }
};

// Returns the job's part of a task's name.
[[nodiscard]] inline std::string GetJob(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

[[nodiscard]] inline HttpResponse Answer(http::status aStatus, const boost::json::value& aBody)
{
  return MakeJsonResponse(aStatus, boost::json::serialize(aBody));
}

}  // namespace monsoon::standin

// cereal functions of the data types in model.h, used for messages and journal entries alike.
#pragma once

#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "core/model.h"

namespace monsoon {

// Throws when a decoded enumeration is above its last enumerator.
template<class E>
void CheckEnum(E aValue, E aLast)
{
  if (aValue > aLast)
    throw cereal::Exception("enumeration out of range");
}

template<class Archive>
void serialize(Archive& aArchive, Resources& aValue)
{
  aArchive(aValue.mMilliCores,
           aValue.mMemoryMiB,
           aValue.mAccelerators,
           aValue.mSlots,
           aValue.mConnections);
}

template<class Archive>
void serialize(Archive& aArchive, WorkerSpec& aValue)
{
  aArchive(aValue.mName, aValue.mZone, aValue.mRack, aValue.mHost, aValue.mPort);
  aArchive(aValue.mCapacity, aValue.mAcceleratorType, aValue.mProcessorType, aValue.mLeaving);
}

template<class Archive>
void serialize(Archive& aArchive, JobSpec& aValue)
{
  aArchive(aValue.mId, aValue.mKind, aValue.mTeam, aValue.mPriority, aValue.mTasks, aValue.mShape);
  aArchive(aValue.mAcceleratorType, aValue.mExpectedRun, aValue.mRepeatable, aValue.mSpreadZones);
  aArchive(aValue.mSpreadRacks, aValue.mMaxAttempts, aValue.mPayload);
  CheckEnum(aValue.mKind, JobKind::Watch);
  CheckEnum(aValue.mPriority, Priority::Low);
}

template<class Archive>
void serialize(Archive& aArchive, TaskKey& aValue)
{
  aArchive(aValue.mJob, aValue.mIndex);
}

template<class Archive>
void serialize(Archive& aArchive, TeamQuota& aValue)
{
  aArchive(aValue.mTeam, aValue.mGuaranteed, aValue.mMayBorrow);
}

}  // namespace monsoon

// Bytes of cereal's portable binary form, read with bounds: a length prefix never makes the reader
// allocate more than the bytes at hand can fill. Heavy header; include it in sources only.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <cstring>
#include <span>
#include <sstream>
#include <string>
#include <type_traits>

#include "core/errors.h"

namespace monsoon {

// Reads what cereal::PortableBinaryOutputArchive writes. Throws cereal::Exception on bad input.
class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::span<const char> aBytes)
    : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
    , mRest(aBytes)
  {
    std::uint8_t littleEndian = 0;
    LoadBytes(&littleEndian, 1);
    mSwap = (littleEndian != 0) != (cereal::portable_binary_detail::is_little_endian() != 0);
  }

  void LoadBytes(void* aTo, std::size_t aSize)
  {
    if (aSize > mRest.size())
      throw cereal::Exception("input ends too early");
    if (aSize != 0)
      std::memcpy(aTo, mRest.data(), aSize);
    mRest = mRest.subspan(aSize);
  }

  template<class T>
  void LoadNumber(T& aValue)
  {
    char bytes[sizeof(T)];
    LoadBytes(bytes, sizeof(T));
    if (mSwap)
      std::reverse(bytes, bytes + sizeof(T));
    std::memcpy(&aValue, bytes, sizeof(T));
  }

  // Every element takes at least one byte, so a larger count can't be true.
  std::uint64_t LoadCount()
  {
    std::uint64_t count = 0;
    LoadNumber(count);
    if (count > mRest.size())
      throw cereal::Exception("length above the bytes at hand");
    return count;
  }

  [[nodiscard]] std::span<const char> GetRest() const noexcept { return mRest; }  // not yet read

private:
  std::span<const char> mRest;
  bool mSwap = false;
};

// cereal finds these by argument-dependent lookup.

template<class T>
  requires std::is_arithmetic_v<T>
void load(BoundedInputArchive& aArchive, T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;  // any byte but 0 and 1 in a bool is undefined behaviour
    aArchive.LoadNumber(byte);
    aValue = byte != 0;
  } else {
    aArchive.LoadNumber(aValue);
  }
}

template<class T>
void load(BoundedInputArchive& aArchive, cereal::SizeTag<T>& aTag)
{
  aTag.size = static_cast<std::decay_t<T>>(aArchive.LoadCount());
}

template<class T>
void load(BoundedInputArchive& aArchive, cereal::BinaryData<T>& aData)
{
  aArchive.LoadBytes(aData.data, static_cast<std::size_t>(aData.size));
}

template<class T>
void serialize(BoundedInputArchive& aArchive, cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

// Grows with the bytes that are really there, where cereal would resize to the claimed length.
template<class T, class A>
void load(BoundedInputArchive& aArchive, std::vector<T, A>& aVector)
{
  const std::uint64_t count = aArchive.LoadCount();
  aVector.clear();
  for (std::uint64_t n = 0; n < count; ++n) {
    T value{};
    aArchive(value);
    aVector.push_back(std::move(value));
  }
}

// A time point plus such a duration can't overflow.
template<class R, class P>
void load(BoundedInputArchive& aArchive, std::chrono::duration<R, P>& aDuration)
{
  static constexpr std::chrono::duration<double> kLongest = std::chrono::hours(24 * 365 * 10);
  R count{};
  aArchive(count);
  aDuration = std::chrono::duration<R, P>(count);
  const std::chrono::duration<double> length = aDuration;
  if (length > kLongest || length < -kLongest)
    throw cereal::Exception("duration out of range");
}

// Functions

template<class... T>
[[nodiscard]] std::string EncodeBytes(const T&... aValues)
{
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(aValues...);
  return std::move(out).str();
}

// Reads the values from the start of the bytes and returns what is left. BadInput on broken bytes.
template<class... T>
[[nodiscard]] Result<std::span<const char>> DecodeSome(std::span<const char> aBytes, T&... aValues)
{
  try {
    BoundedInputArchive archive(aBytes);
    archive(aValues...);
    return archive.GetRest();
  } catch (const std::exception& error) {
    return MakeFailure(FailureKind::BadInput, error.what());
  }
}

// As DecodeSome, but bytes after the values are BadInput too.
template<class... T>
[[nodiscard]] Result<void> DecodeAll(std::span<const char> aBytes, T&... aValues)
{
  auto rest = DecodeSome(aBytes, aValues...);
  if (!rest)
    return rest.error();
  if (!rest->empty())
    return MakeFailure(FailureKind::BadInput, "bytes left after the message");
  return {};
}

}  // namespace monsoon

// Enumerations go through cereal's minimal functions, which ask for the matching output archive.
namespace cereal::traits::detail {
template<>
struct get_output_from_input<monsoon::BoundedInputArchive>
{
  using type = cereal::PortableBinaryOutputArchive;
};
}  // namespace cereal::traits::detail

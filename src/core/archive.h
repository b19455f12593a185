// Encodes and decodes values in cereal's portable binary format. Decoding is bounded: a length
// prefix never makes the reader allocate more than the remaining input can fill. This header is
// expensive to compile; include it only in source files.
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

// Reads the output of cereal::PortableBinaryOutputArchive. Throws cereal::Exception on bad input.
class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::span<const char> aBytes)
    : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
    , mRemaining(aBytes)
  {
    std::uint8_t littleEndian = 0;
    LoadBytes(&littleEndian, 1);
    mSwap = (littleEndian != 0) != (cereal::portable_binary_detail::is_little_endian() != 0);
  }

  void LoadBytes(void* aTo, std::size_t aSize)
  {
    if (aSize > mRemaining.size())
      throw cereal::Exception("input ends too early");
    if (aSize != 0)
      std::memcpy(aTo, mRemaining.data(), aSize);
    mRemaining = mRemaining.subspan(aSize);
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

  // Reads an element count. Every element takes at least one byte, so a count above the number of
  // remaining bytes is invalid.
  std::uint64_t LoadCount()
  {
    std::uint64_t count = 0;
    LoadNumber(count);
    if (count > mRemaining.size())
      throw cereal::Exception("length exceeds the remaining input");
    return count;
  }

  // Returns the unread bytes.
  [[nodiscard]] std::span<const char> GetRemaining() const noexcept { return mRemaining; }

private:
  std::span<const char> mRemaining;
  bool mSwap = false;
};

// Load functions; cereal finds them by argument-dependent lookup

template<class T>
  requires std::is_arithmetic_v<T>
void load(BoundedInputArchive& aArchive, T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;  // copying a byte other than 0 or 1 into a bool is undefined behaviour
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

// Appends one element at a time as input is read; cereal's own version would resize to the length
// that the input claims.
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

// Rejects durations above ten years, so that adding one to a time point can't overflow.
template<class R, class P>
void load(BoundedInputArchive& aArchive, std::chrono::duration<R, P>& aDuration)
{
  static constexpr std::chrono::duration<double> kMaxDuration = std::chrono::hours(24 * 365 * 10);
  R count{};
  aArchive(count);
  aDuration = std::chrono::duration<R, P>(count);
  const std::chrono::duration<double> length = aDuration;
  if (length > kMaxDuration || length < -kMaxDuration)
    throw cereal::Exception("duration out of range");
}

// Encoding and decoding

// Encodes the values one after the other.
template<class... T>
[[nodiscard]] std::string EncodeBytes(const T&... aValues)
{
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(aValues...);
  return std::move(out).str();
}

// Decodes the values from the start of aBytes and returns the remaining bytes. Fails with BadInput
// when the bytes can't be decoded.
template<class... T>
[[nodiscard]] Result<std::span<const char>> DecodeSome(std::span<const char> aBytes, T&... aValues)
{
  try {
    BoundedInputArchive archive(aBytes);
    archive(aValues...);
    return archive.GetRemaining();
  } catch (const std::exception& error) {
    return MakeFailure(FailureKind::BadInput, error.what());
  }
}

// Same as DecodeSome, but also fails with BadInput when bytes follow the values.
template<class... T>
[[nodiscard]] Result<void> DecodeAll(std::span<const char> aBytes, T&... aValues)
{
  auto rest = DecodeSome(aBytes, aValues...);
  if (!rest)
    return rest.error();
  if (!rest->empty())
    return MakeFailure(FailureKind::BadInput, "unexpected bytes after the message");
  return {};
}

}  // namespace monsoon

// cereal reads enumerations through its load_minimal functions, which look up the output archive
// that belongs to the input archive.
namespace cereal::traits::detail {
template<>
struct get_output_from_input<monsoon::BoundedInputArchive>
{
  using type = cereal::PortableBinaryOutputArchive;
};
}  // namespace cereal::traits::detail

#ifndef ANVIL_BASE_IDS_H
#define ANVIL_BASE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace anvil {

/// Text identifier whose type keeps identifiers of different things apart.
///
/// Usage: `using VmId = NamedId<struct VmTag>; VmId Vm("worker-7");`
template <typename Tag> class NamedId {
public:
  NamedId() = default;
  explicit NamedId(std::string_view Value) : m_Value(Value) {}

  /// Returns the identifier as it appears in settings, messages and logs.
  const std::string &str() const { return m_Value; }
  bool empty() const { return m_Value.empty(); }

  // clang-tidy 14 reports the code that the compiler generates for the
  // defaulted operator.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const NamedId &) const = default;

  // NOLINTNEXTLINE(readability-identifier-naming): Abseil looks for this name.
  template <typename H> friend H AbslHashValue(H State, const NamedId &Id) {
    return H::combine(std::move(State), Id.m_Value);
  }

private:
  std::string m_Value;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &Out, const NamedId<Tag> &Id) {
  return Out << Id.str();
}

/// Number identifier whose type keeps identifiers of different things apart.
template <typename Tag> class NumericId {
public:
  NumericId() = default;
  explicit constexpr NumericId(int64_t Value) : m_Value(Value) {}

  /// Returns the number as it appears in messages and logs.
  constexpr int64_t value() const { return m_Value; }

  // clang-tidy 14 reports the code that the compiler generates for the
  // defaulted operator.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const NumericId &) const = default;

  // NOLINTNEXTLINE(readability-identifier-naming): Abseil looks for this name.
  template <typename H> friend H AbslHashValue(H State, const NumericId &Id) {
    return H::combine(std::move(State), Id.m_Value);
  }

private:
  int64_t m_Value = 0;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &Out, const NumericId<Tag> &Id) {
  return Out << Id.value();
}

using VmId = NamedId<struct VmTag>;
using AvailabilityZoneId = NamedId<struct AvailabilityZoneTag>;
using RackId = NamedId<struct RackTag>;
using WorkspaceId = NamedId<struct WorkspaceTag>;
using ServiceId = NamedId<struct ServiceTag>;
using JobId = NumericId<struct JobTag>;

} // namespace anvil

#endif // ANVIL_BASE_IDS_H

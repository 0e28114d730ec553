#ifndef FUCHSIAWEIR_CORE_ENUM_NAMES_H_
#define FUCHSIAWEIR_CORE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace fuchsiaweir {

/// Maps the values of an enumeration to their names in messages and files.
template <typename Enum, size_t N>
using EnumNames = std::array<std::pair<Enum, std::string_view>, N>;

/// Returns the name of `value`, or "?" if the table does not contain it.
template <typename Enum, size_t N>
constexpr std::string_view NameIn(const EnumNames<Enum, N>& table, Enum value) {
  for (const auto& [entry, name] : table) {
    if (entry == value) return name;
  }
  return "?";
}

/// Returns the value with this name, or nullopt if the table does not contain it.
template <typename Enum, size_t N>
constexpr std::optional<Enum> ValueIn(const EnumNames<Enum, N>& table, std::string_view name) {
  for (const auto& [entry, entry_name] : table) {
    if (entry_name == name) return entry;
  }
  return std::nullopt;
}

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ENUM_NAMES_H_

#include "snipeworks/text.h"

#include <algorithm>
#include <cstdint>
#include <unordered_set>

#include <nlohmann/json.hpp>

namespace snipeworks {

namespace {

constexpr std::uint32_t kDelete = 0x7f;
constexpr std::uint32_t kFirstSurrogate = 0xd800;
constexpr std::uint32_t kLastSurrogate = 0xdfff;
constexpr std::uint32_t kLastCodePoint = 0x10ffff;

// A UTF-8 sequence by its first byte: how many bytes follow, which bits of the
// first byte belong to the code point, and the lowest code point that needs a
// sequence of this length.
struct SequenceForm {
  std::uint8_t mask;
  std::uint8_t marker;
  std::size_t following;
  std::uint32_t lowest;
};

constexpr SequenceForm kForms[] = {
    {0x80, 0x00, 0, 0x00},
    {0xe0, 0xc0, 1, 0x80},
    {0xf0, 0xe0, 2, 0x800},
    {0xf8, 0xf0, 3, 0x10000},
};

bool IsPrintableCodePoint(std::uint32_t code) {
  const bool surrogate = code >= kFirstSurrogate && code <= kLastSurrogate;
  // C0 and C1 control characters.
  const bool control = code < ' ' || (code >= kDelete && code < 0xa0);
  return !surrogate && !control && code <= kLastCodePoint;
}

}  // namespace

bool IsPrintable(std::string_view text) {
  while (!text.empty()) {
    const auto first = static_cast<std::uint8_t>(text.front());
    const auto* form = std::ranges::find_if(kForms, [&](const auto& candidate) {
      return (first & candidate.mask) == candidate.marker;
    });
    if (form == std::end(kForms) || text.size() <= form->following) {
      return false;
    }
    std::uint32_t code = first & static_cast<std::uint8_t>(~form->mask);
    for (std::size_t i = 1; i <= form->following; ++i) {
      const auto byte = static_cast<std::uint8_t>(text[i]);
      if ((byte & 0xc0) != 0x80) {
        return false;
      }
      code = code << 6 | (byte & 0x3f);
    }
    if (code < form->lowest || !IsPrintableCodePoint(code)) {
      return false;
    }
    text.remove_prefix(form->following + 1);
  }
  return true;
}

std::string WriteJson(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::vector<std::string> WithoutRepetitions(std::vector<std::string> names) {
  std::unordered_set<std::string> seen;
  std::erase_if(names, [&](const std::string& name) {
    return !seen.insert(name).second;
  });
  return names;
}

}  // namespace snipeworks

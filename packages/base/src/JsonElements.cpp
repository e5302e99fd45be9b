#include "jaylane/base/JsonElements.h"

#include "jaylane/base/JsonText.h"

#include <algorithm>
#include <array>

namespace jaylane::base {

namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

std::string_view Trim(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kWhitespace) - first + 1);
}

/// Whether a character begins a string or begins, ends or separates values.
constexpr std::array<bool, 256> kIsStructural = [] {
  std::array<bool, 256> isStructural{};
  for (const unsigned char c : { '"', '[', ']', '{', '}', ',' }) {
    isStructural[c] = true;
  }
  return isStructural;
}();

/// @param aStart position of the opening quote.
/// @return position behind the closing quote.
std::size_t SkipString(std::string_view aText, std::size_t aStart)
{
  std::size_t at = aStart + 1;
  while (at < aText.size() && aText[at] != '"') {
    at += aText[at] == '\\' ? 2 : 1;
  }
  return std::min(at + 1, aText.size());
}

/// @return position of the comma or bracket that ends the value; the end of the text if there is
///   none. Counts brackets instead of recursing, so that nesting costs no stack.
std::size_t SkipValue(std::string_view aText, std::size_t aStart)
{
  std::size_t depth = 0;
  std::size_t at = aStart;
  while (at < aText.size()) {
    if (!kIsStructural[static_cast<unsigned char>(aText[at])]) {
      ++at;
      continue;
    }
    switch (aText[at]) {
      case '"':
        at = SkipString(aText, at);
        continue;
      case '[':
      case '{':
        ++depth;
        break;
      case ']':
      case '}':
        if (depth == 0) {
          return at;
        }
        --depth;
        break;
      case ',':
        if (depth == 0) {
          return at;
        }
        break;
      default:
        break;
    }
    ++at;
  }
  return at;
}

/// @return texts of the comma-separated values between the brackets of an array or object.
std::vector<std::string_view> SplitValues(std::string_view aText)
{
  std::vector<std::string_view> values;
  const std::string_view inner = Trim(aText);
  std::size_t at = 1;
  while (at < inner.size()) {
    const std::size_t end = SkipValue(inner, at);
    const std::string_view value = Trim(inner.substr(at, end - at));
    if (!value.empty()) {
      values.push_back(value);
    }
    if (end >= inner.size() || inner[end] != ',') {
      break;
    }
    at = end + 1;
  }
  return values;
}

} // namespace

JsonMembers::JsonMembers(std::string_view aText)
{
  const std::string_view object = Trim(aText);
  if (!object.starts_with('{')) {
    return;
  }
  for (const std::string_view member : SplitValues(object)) {
    if (!member.starts_with('"')) {
      return;
    }
    const std::size_t nameEnd = SkipString(member, 0);
    const std::string_view rest = Trim(member.substr(nameEnd));
    if (rest.starts_with(':')) {
      m_members.push_back({ member.substr(1, nameEnd - 2), Trim(rest.substr(1)) });
    }
  }
}

std::string_view JsonMembers::Text(std::string_view aName) const
{
  const auto member = std::ranges::find(m_members, aName, &Member::m_name);
  return member == m_members.end() ? std::string_view{} : member->m_text;
}

Result<JsonElements> ParseJsonElements(std::string_view aText, std::string_view aArray)
{
  const std::string_view array = JsonMembers(aText).Text(aArray);
  if (!array.starts_with('[') || !array.ends_with(']')) {
    return Error{ BaseErrc::InvalidValue, std::string{ aArray }.append(" is not an array") };
  }
  const auto start = static_cast<std::size_t>(array.data() - aText.data());
  std::string rest{ aText.substr(0, start) };
  rest.append("[]").append(aText.substr(start + array.size()));
  auto object = ParseJson(rest);
  if (!object) {
    return object.GetError();
  }
  return JsonElements{ std::move(*object), SplitValues(array) };
}

} // namespace jaylane::base

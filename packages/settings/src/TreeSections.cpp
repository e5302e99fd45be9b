#include "jaylane/settings/TreeSections.h"

#include <charconv>
#include <fmt/format.h>

namespace jaylane::settings {

namespace {

/// Consumes unsigned decimal numbers and fixed characters from the start of a text.
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : m_rest(aText)
  {
  }

  /// @return the number, or nullopt if it is absent or above the maximum.
  std::optional<unsigned> ReadNumber(unsigned aMax)
  {
    unsigned value = 0;
    const auto [at, error] = std::from_chars(m_rest.data(), m_rest.data() + m_rest.size(), value);
    if (error != std::errc() || value > aMax) {
      m_failed = true;
      return std::nullopt;
    }
    m_rest.remove_prefix(at - m_rest.data());
    return value;
  }

  /// Reads a number that has exactly aCount digits.
  /// @return the number; if it is malformed, 0, and Succeeded() returns false from then on.
  unsigned ReadDigits(std::size_t aCount, unsigned aMax)
  {
    const std::size_t before = m_rest.size();
    const std::optional<unsigned> value = ReadNumber(aMax);
    m_failed = m_failed || before - m_rest.size() != aCount;
    return value.value_or(0);
  }

  /// Consumes a character; fails if the text continues differently.
  void Expect(char aChar)
  {
    if (m_rest.empty() || m_rest.front() != aChar) {
      m_failed = true;
      return;
    }
    m_rest.remove_prefix(1);
  }

  /// @return whether nothing has failed and the whole text is consumed.
  bool Succeeded() const { return !m_failed && m_rest.empty(); }

private:
  std::string_view m_rest;
  bool m_failed = false;
};

std::uint32_t Mask(std::uint8_t aLength)
{
  // Shifting by the full width of the type is undefined behaviour.
  return aLength == 0 ? 0 : ~std::uint32_t(0) << (32 - aLength);
}

} // namespace

std::optional<Ipv4Prefix> Ipv4Prefix::Parse(std::string_view aText)
{
  Scanner scanner(aText);
  Ipv4Prefix prefix;
  for (int i = 0; i < 4; ++i) {
    if (i > 0) {
      scanner.Expect('.');
    }
    prefix.m_address = prefix.m_address << 8 | scanner.ReadNumber(255).value_or(0);
  }
  scanner.Expect('/');
  prefix.m_length = static_cast<std::uint8_t>(scanner.ReadNumber(32).value_or(0));
  if (!scanner.Succeeded() || (prefix.m_address & ~Mask(prefix.m_length)) != 0) {
    return std::nullopt;
  }
  return prefix;
}

std::string Ipv4Prefix::ToString() const
{
  return fmt::format("{}.{}.{}.{}/{}",
                     m_address >> 24,
                     m_address >> 16 & 0xff,
                     m_address >> 8 & 0xff,
                     m_address & 0xff,
                     m_length);
}

bool Ipv4Prefix::Overlaps(const Ipv4Prefix& aOther) const
{
  const std::uint32_t common = Mask(std::min(m_length, aOther.m_length));
  return (m_address & common) == (aOther.m_address & common);
}

std::optional<base::WallTime> ParseTime(std::string_view aText)
{
  Scanner scanner(aText);
  const unsigned year = scanner.ReadDigits(4, 2200);
  scanner.Expect('-');
  const unsigned month = scanner.ReadDigits(2, 12);
  scanner.Expect('-');
  const unsigned day = scanner.ReadDigits(2, 31);
  scanner.Expect('T');
  const unsigned hour = scanner.ReadDigits(2, 23);
  scanner.Expect(':');
  const unsigned minute = scanner.ReadDigits(2, 59);
  scanner.Expect(':');
  const unsigned second = scanner.ReadDigits(2, 59);
  scanner.Expect('Z');
  const std::chrono::year_month_day date(
    std::chrono::year(static_cast<int>(year)), std::chrono::month(month), std::chrono::day(day));
  if (!scanner.Succeeded() || !date.ok()) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date) + std::chrono::hours(hour) + std::chrono::minutes(minute) +
         std::chrono::seconds(second);
}

std::string FormatTime(base::WallTime aTime)
{
  const auto days = std::chrono::floor<std::chrono::days>(aTime);
  const std::chrono::year_month_day date(days);
  const std::chrono::hh_mm_ss time(std::chrono::floor<std::chrono::seconds>(aTime - days));
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z",
                     int(date.year()),
                     unsigned(date.month()),
                     unsigned(date.day()),
                     time.hours().count(),
                     time.minutes().count(),
                     time.seconds().count());
}

} // namespace jaylane::settings

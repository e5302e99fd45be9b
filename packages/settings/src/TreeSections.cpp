#include "jaylane/settings/TreeSections.h"

#include <charconv>
#include <fmt/format.h>

namespace jaylane::settings {

namespace {

/// Reads unsigned decimal numbers and fixed characters off the front of a text.
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : m_rest(aText)
  {
  }

  /// @return the number, or nothing if it is absent or above the maximum.
  std::optional<unsigned> Number(unsigned aMax)
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

  /// @return a number of exactly this many digits; 0 and a failed scanner if it is malformed.
  unsigned Digits(std::size_t aCount, unsigned aMax)
  {
    const std::size_t before = m_rest.size();
    const std::optional<unsigned> value = Number(aMax);
    m_failed = m_failed || before - m_rest.size() != aCount;
    return value.value_or(0);
  }

  void Skip(char aChar)
  {
    if (m_rest.empty() || m_rest.front() != aChar) {
      m_failed = true;
      return;
    }
    m_rest.remove_prefix(1);
  }

  bool Done() const { return !m_failed && m_rest.empty(); }

private:
  std::string_view m_rest;
  bool m_failed = false;
};

std::uint32_t Mask(std::uint8_t aLength)
{
  // A shift by the full width is undefined.
  return aLength == 0 ? 0 : ~std::uint32_t(0) << (32 - aLength);
}

} // namespace

std::optional<Ipv4Prefix> Ipv4Prefix::Parse(std::string_view aText)
{
  Scanner scanner(aText);
  Ipv4Prefix prefix;
  for (int i = 0; i < 4; ++i) {
    if (i > 0) {
      scanner.Skip('.');
    }
    prefix.m_address = prefix.m_address << 8 | scanner.Number(255).value_or(0);
  }
  scanner.Skip('/');
  prefix.m_length = static_cast<std::uint8_t>(scanner.Number(32).value_or(0));
  if (!scanner.Done() || (prefix.m_address & ~Mask(prefix.m_length)) != 0) {
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
  const unsigned year = scanner.Digits(4, 2200);
  scanner.Skip('-');
  const unsigned month = scanner.Digits(2, 12);
  scanner.Skip('-');
  const unsigned day = scanner.Digits(2, 31);
  scanner.Skip('T');
  const unsigned hour = scanner.Digits(2, 23);
  scanner.Skip(':');
  const unsigned minute = scanner.Digits(2, 59);
  scanner.Skip(':');
  const unsigned second = scanner.Digits(2, 59);
  scanner.Skip('Z');
  const std::chrono::year_month_day date(
    std::chrono::year(static_cast<int>(year)), std::chrono::month(month), std::chrono::day(day));
  if (!scanner.Done() || !date.ok()) {
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

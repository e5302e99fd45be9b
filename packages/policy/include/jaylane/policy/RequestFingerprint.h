#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace jaylane::policy {

/// Computes the hash of a request body that arrives in pieces.
class BodyHasher
{
public:
  BodyHasher();

  void Update(std::span<const std::byte> aPiece);
  std::uint64_t Digest() const;

private:
  struct StateDeleter
  {
    void operator()(XXH3_state_s* aState) const;
  };
  std::unique_ptr<XXH3_state_s, StateDeleter> m_state;
};

/// 128-bit hash of the service, method, path and body of a request. Requests with equal
/// fingerprints count as the same request.
struct RequestFingerprint
{
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;

  auto operator<=>(const RequestFingerprint&) const = default;

  /// @param aService name of the service.
  /// @param aMethod HTTP method.
  /// @param aPath path including the query.
  /// @param aBodyHash BodyHasher::Digest() of the body.
  static RequestFingerprint Of(std::string_view aService,
                               std::string_view aMethod,
                               std::string_view aPath,
                               std::uint64_t aBodyHash);

  /// @return 32 hexadecimal digits, for logs.
  std::string ToString() const;
};

} // namespace jaylane::policy

template<>
struct std::hash<jaylane::policy::RequestFingerprint>
{
  std::size_t operator()(const jaylane::policy::RequestFingerprint& aFingerprint) const noexcept
  {
    return aFingerprint.m_low;
  }
};

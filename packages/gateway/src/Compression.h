#pragma once

#include "jaylane/base/Error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace jaylane::gateway {

/// Value of Content-Encoding and Accept-Encoding for CompressGzip().
inline constexpr std::string_view kGzipEncoding = "gzip";

/// @param aAcceptEncoding value of a request's Accept-Encoding header; empty if there is none.
/// @return whether the header names gzip and does not exclude it by the weight 0 (RFC 9110,
///   12.5.3). A header that is not valid accepts nothing.
bool AcceptsGzip(std::string_view aAcceptEncoding);

/// Compresses at the fastest level.
/// @return the text as one gzip member (RFC 1952), or InvalidValue if zlib has no memory.
base::Result<std::string> CompressGzip(std::string_view aText);

/// @param aData one gzip member from an untrusted source.
/// @param aMaxBytes limit on the result.
/// @return the text, or InvalidValue if the data is corrupt, truncated, followed by other bytes or
///   inflates beyond the limit.
base::Result<std::string> DecompressGzip(std::string_view aData, std::size_t aMaxBytes);

} // namespace jaylane::gateway

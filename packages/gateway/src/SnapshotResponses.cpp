#include "SnapshotResponses.h"

#include "Compression.h"

#include <utility>

namespace jaylane::gateway {

namespace {

InfoResponse MakeResponse(std::string aText, bool aAcceptsGzip)
{
  constexpr const char* kContentType = "application/json";
  if (aAcceptsGzip && aText.size() >= SnapshotResponses::kMinCompressedBytes) {
    if (auto compressed = CompressGzip(aText)) {
      InfoResponse response(200, kContentType, std::move(*compressed));
      response.m_contentEncoding = kGzipEncoding;
      return response;
    }
  }
  return { 200, kContentType, std::move(aText) };
}

} // namespace

InfoResponse SnapshotResponses::Get(policy::StoreRevision aAfter,
                                    bool aAcceptsGzip,
                                    const std::function<std::string()>& aMakeText)
{
  const Key key{ aAfter, aAcceptsGzip };
  const auto known = m_responses.find(key);
  if (known != m_responses.end()) {
    return known->second;
  }
  InfoResponse response = MakeResponse(aMakeText(), aAcceptsGzip);
  Keep(key, response);
  return response;
}

void SnapshotResponses::Keep(const Key& aKey, const InfoResponse& aResponse)
{
  const std::size_t bytes = aResponse.m_body->size();
  if (bytes > kMaxBytes) {
    return;
  }
  while (m_responses.size() >= kMaxResponses || m_bytes + bytes > kMaxBytes) {
    const auto oldest = m_responses.begin();
    m_bytes -= oldest->second.m_body->size();
    m_responses.erase(oldest);
  }
  m_responses.emplace(aKey, aResponse);
  m_bytes += bytes;
}

void SnapshotResponses::Clear()
{
  m_responses.clear();
  m_bytes = 0;
}

} // namespace jaylane::gateway

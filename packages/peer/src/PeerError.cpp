#include "jaylane/peer/PeerError.h"

#include <string>

namespace jaylane::peer {

namespace {

class Category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "jaylane.peer"; }

  std::string message(int aCode) const override
  {
    switch (static_cast<PeerErrc>(aCode)) {
      case PeerErrc::Ok:
        return "success";
      case PeerErrc::NoResponse:
        return "no response from the peer";
      case PeerErrc::Refused:
        return "the peer refused the call";
      case PeerErrc::Malformed:
        return "malformed peer message";
      case PeerErrc::ListenFailed:
        return "cannot listen on the peer address";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category& PeerCategory()
{
  static const Category sCategory;
  return sCategory;
}

std::error_code make_error_code(PeerErrc aCode)
{
  return { static_cast<int>(aCode), PeerCategory() };
}

} // namespace jaylane::peer

#include "snipeworks/http_message.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace snipeworks {

namespace {

// RFC 9110, section 7.6.1, and the headers that frame a body or delay it
// (Expect).
constexpr std::array<std::string_view, 10> kRemovedHeaders = {
    "Connection", "Keep-Alive",    "Proxy-Connection",  "Proxy-Authenticate",
    "TE",         "Trailer",       "Transfer-Encoding", "Upgrade",
    "Expect",     "Content-Length"};

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

bool IsTokenCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         kTokenPunctuation.find(c) != std::string_view::npos;
}

}  // namespace

std::string_view TrimBlanks(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool SameHeaderName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool IsHeaderName(std::string_view name) {
  return !name.empty() && std::ranges::all_of(name, IsTokenCharacter);
}

bool IsFinalStatus(int status) {
  return status >= kFirstFinalStatus && status <= kLastStatus;
}

std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (SameHeaderName(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

bool HeaderListContains(std::string_view list, std::string_view item) {
  while (!list.empty()) {
    const auto comma = list.find(',');
    if (SameHeaderName(TrimBlanks(list.substr(0, comma)), item)) {
      return true;
    }
    list = comma == std::string_view::npos ? std::string_view()
                                           : list.substr(comma + 1);
  }
  return false;
}

void RemoveHopByHopHeaders(std::vector<HttpHeader>& headers) {
  const std::string named(FindHeader(headers, "Connection"));
  std::erase_if(headers, [&](const HttpHeader& header) {
    return std::ranges::any_of(kRemovedHeaders,
                               [&](std::string_view name) {
                                 return SameHeaderName(header.name, name);
                               }) ||
           (!named.empty() && HeaderListContains(named, header.name));
  });
}

std::string_view HttpRequest::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

}  // namespace snipeworks

#include "rooksill/net/http_parser.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace rooksill::net {
namespace {

// Statuses that tell the sender of a request what was wrong with it.
constexpr int kMalformed = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;

constexpr size_t kMaxChunkSizeLine = 10;  // bytes; more digits than any body's size has

bool token_char(unsigned char c) {
  return std::isalnum(c) ||
         std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
}

std::string lower(std::string_view s) {
  std::string out(s);
  for (char& c : out) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return out;
}

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool has_token(std::string_view list, std::string_view wanted) {
  while (!list.empty()) {
    auto comma = list.find(',');
    if (lower(trim(list.substr(0, comma))) == wanted) return true;
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

}  // namespace

void HttpParser::fail(int status) {
  phase_ = Phase::kError;
  error_status_ = status;
}

bool HttpParser::parse_start_line(std::string_view line) {
  return kind_ == Kind::kRequest ? parse_request_line(line) : parse_status_line(line);
}

// METHOD TARGET VERSION
bool HttpParser::parse_request_line(std::string_view line) {
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == 0 || last == first) return false;
  const std::string_view method = line.substr(0, first);
  const std::string_view target = line.substr(first + 1, last - first - 1);
  if (!parse_version(line.substr(last + 1))) return false;
  if (!std::all_of(method.begin(), method.end(), token_char)) return false;
  if (target.empty() || target.front() != '/') return false;
  for (unsigned char c : target)
    if (c <= ' ' || c >= 127) return false;
  message_.method = method;
  message_.target = target;
  return true;
}

// VERSION STATUS REASON, the reason being optional.
bool HttpParser::parse_status_line(std::string_view line) {
  const auto first = line.find(' ');
  if (first == std::string_view::npos || first == 0) return false;
  if (!parse_version(line.substr(0, first))) return false;
  const std::string_view rest = line.substr(first + 1);
  if (rest.size() < 3 || (rest.size() > 3 && rest[3] != ' ')) return false;
  int status = 0;
  for (char c : rest.substr(0, 3)) {
    if (c < '0' || c > '9') return false;
    status = status * 10 + (c - '0');
  }
  if (status < 100) return false;
  message_.status = status;
  return true;
}

bool HttpParser::parse_version(std::string_view version) {
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  message_.close = version == "HTTP/1.0";
  return true;
}

bool HttpParser::parse_header(std::string_view line) {
  auto colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  std::string_view name = line.substr(0, colon);
  if (!std::all_of(name.begin(), name.end(), token_char)) return false;
  std::string_view value = trim(line.substr(colon + 1));
  for (unsigned char c : value)
    if ((c < ' ' && c != '\t') || c == 127) return false;
  std::string key = lower(name);
  if (key == "content-length") {
    // Two lengths, or a length beside chunks, are how requests get smuggled.
    if (has_length_ || chunked_ || value.empty() || value.size() > 12) return false;
    size_t n = 0;
    for (char c : value) {
      if (c < '0' || c > '9') return false;
      n = n * 10 + static_cast<size_t>(c - '0');
    }
    remaining_ = n;
    has_length_ = true;
  } else if (key == "transfer-encoding") {
    if (has_length_ || chunked_ || lower(value) != "chunked") return false;
    chunked_ = true;
  } else if (key == "connection") {
    if (has_token(value, "close")) message_.close = true;
  }
  return true;
}

bool HttpParser::parse_head() {
  std::string_view rest(head_);
  bool first = true;
  while (!rest.empty()) {
    auto end = rest.find("\r\n");
    if (end == std::string_view::npos) return false;
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end + 2);
    if (line.empty()) break;
    if (line.find('\r') != std::string_view::npos || line.find('\n') != std::string_view::npos)
      return false;
    if (first ? !parse_start_line(line) : !parse_header(line)) return false;
    first = false;
  }
  return !first;
}

HttpParser::State HttpParser::feed(std::string_view data, size_t& used) {
  used = 0;
  while (phase_ != Phase::kDone && phase_ != Phase::kError) {
    if (used >= data.size()) return State::kNeedMore;
    if (phase_ == Phase::kBody || phase_ == Phase::kChunkData)
      used += take_body(data.substr(used));
    else
      take_character(data[used++]);
  }
  return phase_ == Phase::kDone ? State::kDone : State::kError;
}

size_t HttpParser::take_body(std::string_view data) {
  const size_t size = std::min(remaining_, data.size());
  message_.body.append(data.substr(0, size));
  remaining_ -= size;
  if (remaining_ == 0) {
    phase_ = phase_ == Phase::kBody ? Phase::kDone : Phase::kChunkEnd;
    line_.clear();
  }
  return size;
}

void HttpParser::take_character(char c) {
  switch (phase_) {
    case Phase::kHead:
      return take_head(c);
    case Phase::kChunkSize:
      return take_chunk_size(c);
    case Phase::kChunkEnd:
      return take_chunk_end(c);
    case Phase::kTrailer:
      return take_trailer(c);
    case Phase::kBody:
    case Phase::kChunkData:
    case Phase::kDone:
    case Phase::kError:
      return;
  }
}

void HttpParser::take_head(char c) {
  head_.push_back(c);
  if (head_.size() > max_head_) return fail(kHeadTooLarge);
  if (c != '\n') return;
  if (head_ == "\r\n") return head_.clear();  // an empty line before a message
  if (head_.size() < 4 || !head_.ends_with("\r\n\r\n")) return;
  if (!parse_head()) return fail(kMalformed);
  if (has_length_ && remaining_ > max_body_) return fail(kBodyTooLarge);
  if (chunked_)
    phase_ = Phase::kChunkSize;
  else
    phase_ = remaining_ > 0 ? Phase::kBody : Phase::kDone;
}

// Collects a short line (chunk size or trailer); true when it is complete.
bool HttpParser::take_line(char c) {
  line_.push_back(c);
  return c == '\n';
}

void HttpParser::take_chunk_size(char c) {
  if (!take_line(c)) {
    if (line_.size() > kMaxChunkSizeLine) fail(kMalformed);
    return;
  }
  size_t size = 0;
  size_t digits = 0;
  for (; digits + 2 < line_.size(); ++digits) {
    const auto digit = static_cast<unsigned char>(line_[digits]);
    if (!std::isxdigit(digit)) return fail(kMalformed);
    const int value = std::isdigit(digit) ? digit - '0' : std::tolower(digit) - 'a' + 10;
    size = size * 16 + static_cast<size_t>(value);
  }
  if (digits == 0 || line_[digits] != '\r') return fail(kMalformed);
  line_.clear();
  if (message_.body.size() + size > max_body_) return fail(kBodyTooLarge);
  remaining_ = size;
  phase_ = size > 0 ? Phase::kChunkData : Phase::kTrailer;
}

// The line end after a chunk's data.
void HttpParser::take_chunk_end(char c) {
  if (!take_line(c)) {
    if (line_.size() > 2) fail(kMalformed);
    return;
  }
  if (line_ != "\r\n") return fail(kMalformed);
  line_.clear();
  phase_ = Phase::kChunkSize;
}

// Trailers are read and dropped.
void HttpParser::take_trailer(char c) {
  if (++trailer_bytes_ > max_head_) return fail(kHeadTooLarge);
  if (!take_line(c)) return;
  if (line_ == "\r\n") phase_ = Phase::kDone;
  line_.clear();
}

HttpMessage HttpParser::take() {
  HttpMessage out = std::move(message_);
  *this = HttpParser(kind_, max_head_, max_body_);
  return out;
}

}  // namespace rooksill::net

#include "rooksill/net/http_parser.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace rooksill::net {
namespace {

// HTTP statuses for requests that cannot be parsed.
constexpr int kBadRequestStatus = 400;
constexpr int kContentTooLargeStatus = 413;
constexpr int kHeadTooLargeStatus = 431;

constexpr size_t kMaxChunkSizeLineBytes = 10;  // more than the size of any accepted body needs

bool is_token_character(unsigned char c) {
  return std::isalnum(c) ||
         std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
}

std::string to_lower(std::string_view text) {
  std::string result(text);
  for (char& c : result) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return result;
}

std::string_view trim_whitespace(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool has_token(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    auto comma = list.find(',');
    if (to_lower(trim_whitespace(list.substr(0, comma))) == token) return true;
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

// Parses METHOD TARGET VERSION.
bool HttpParser::parse_request_line(std::string_view line) {
  const auto first_space = line.find(' ');
  const auto last_space = line.rfind(' ');
  if (first_space == std::string_view::npos || first_space == 0 || last_space == first_space)
    return false;
  const std::string_view method = line.substr(0, first_space);
  const std::string_view target = line.substr(first_space + 1, last_space - first_space - 1);
  if (!parse_version(line.substr(last_space + 1))) return false;
  if (!std::all_of(method.begin(), method.end(), is_token_character)) return false;
  if (target.empty() || target.front() != '/') return false;
  for (unsigned char c : target)
    if (c <= ' ' || c >= 127) return false;
  message_.method = method;
  message_.target = target;
  return true;
}

// Parses VERSION STATUS REASON, where REASON is optional.
bool HttpParser::parse_status_line(std::string_view line) {
  const auto first_space = line.find(' ');
  if (first_space == std::string_view::npos || first_space == 0) return false;
  if (!parse_version(line.substr(0, first_space))) return false;
  const std::string_view rest = line.substr(first_space + 1);
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
  message_.closes_connection = version == "HTTP/1.0";
  return true;
}

bool HttpParser::parse_header(std::string_view line) {
  auto colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  std::string_view name = line.substr(0, colon);
  if (!std::all_of(name.begin(), name.end(), is_token_character)) return false;
  std::string_view value = trim_whitespace(line.substr(colon + 1));
  for (unsigned char c : value)
    if ((c < ' ' && c != '\t') || c == 127) return false;
  std::string key = to_lower(name);
  if (key == "content-length") {
    // Two lengths, or a length together with chunked encoding, allow request smuggling.
    if (has_content_length_ || is_chunked_ || value.empty() || value.size() > 12) return false;
    size_t length = 0;
    for (char c : value) {
      if (c < '0' || c > '9') return false;
      length = length * 10 + static_cast<size_t>(c - '0');
    }
    remaining_bytes_ = length;
    has_content_length_ = true;
  } else if (key == "transfer-encoding") {
    if (has_content_length_ || is_chunked_ || to_lower(value) != "chunked") return false;
    is_chunked_ = true;
  } else if (key == "connection") {
    if (has_token(value, "close")) message_.closes_connection = true;
  }
  return true;
}

bool HttpParser::parse_head() {
  std::string_view rest(head_);
  bool is_start_line = true;
  while (!rest.empty()) {
    auto end = rest.find("\r\n");
    if (end == std::string_view::npos) return false;
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end + 2);
    if (line.empty()) break;
    if (line.find('\r') != std::string_view::npos || line.find('\n') != std::string_view::npos)
      return false;
    if (is_start_line ? !parse_start_line(line) : !parse_header(line)) return false;
    is_start_line = false;
  }
  return !is_start_line;
}

HttpParser::State HttpParser::feed(std::string_view data, size_t& consumed) {
  consumed = 0;
  while (phase_ != Phase::kDone && phase_ != Phase::kError) {
    if (consumed >= data.size()) return State::kNeedMore;
    if (phase_ == Phase::kBody || phase_ == Phase::kChunkData)
      consumed += append_body(data.substr(consumed));
    else
      parse_character(data[consumed++]);
  }
  return phase_ == Phase::kDone ? State::kDone : State::kError;
}

size_t HttpParser::append_body(std::string_view data) {
  const size_t size = std::min(remaining_bytes_, data.size());
  message_.body.append(data.substr(0, size));
  remaining_bytes_ -= size;
  if (remaining_bytes_ == 0) {
    phase_ = phase_ == Phase::kBody ? Phase::kDone : Phase::kChunkEnd;
    line_.clear();
  }
  return size;
}

void HttpParser::parse_character(char character) {
  switch (phase_) {
    case Phase::kHead:
      return parse_head_character(character);
    case Phase::kChunkSize:
      return parse_chunk_size_character(character);
    case Phase::kChunkEnd:
      return parse_chunk_end_character(character);
    case Phase::kTrailer:
      return parse_trailer_character(character);
    case Phase::kBody:
    case Phase::kChunkData:
    case Phase::kDone:
    case Phase::kError:
      return;
  }
}

void HttpParser::parse_head_character(char character) {
  head_.push_back(character);
  if (head_.size() > max_head_bytes_) return fail(kHeadTooLargeStatus);
  if (character != '\n') return;
  if (head_ == "\r\n") return head_.clear();  // ignores empty lines before a message
  if (head_.size() < 4 || !head_.ends_with("\r\n\r\n")) return;
  if (!parse_head()) return fail(kBadRequestStatus);
  if (has_content_length_ && remaining_bytes_ > max_body_bytes_)
    return fail(kContentTooLargeStatus);
  if (is_chunked_)
    phase_ = Phase::kChunkSize;
  else
    phase_ = remaining_bytes_ > 0 ? Phase::kBody : Phase::kDone;
}

bool HttpParser::append_to_line(char character) {
  line_.push_back(character);
  return character == '\n';
}

void HttpParser::parse_chunk_size_character(char character) {
  if (!append_to_line(character)) {
    if (line_.size() > kMaxChunkSizeLineBytes) fail(kBadRequestStatus);
    return;
  }
  size_t size = 0;
  size_t digits = 0;
  for (; digits + 2 < line_.size(); ++digits) {
    const auto digit = static_cast<unsigned char>(line_[digits]);
    if (!std::isxdigit(digit)) return fail(kBadRequestStatus);
    const int value = std::isdigit(digit) ? digit - '0' : std::tolower(digit) - 'a' + 10;
    size = size * 16 + static_cast<size_t>(value);
  }
  if (digits == 0 || line_[digits] != '\r') return fail(kBadRequestStatus);
  line_.clear();
  if (message_.body.size() + size > max_body_bytes_) return fail(kContentTooLargeStatus);
  remaining_bytes_ = size;
  phase_ = size > 0 ? Phase::kChunkData : Phase::kTrailer;
}

// Expects the line end after the data of a chunk.
void HttpParser::parse_chunk_end_character(char character) {
  if (!append_to_line(character)) {
    if (line_.size() > 2) fail(kBadRequestStatus);
    return;
  }
  if (line_ != "\r\n") return fail(kBadRequestStatus);
  line_.clear();
  phase_ = Phase::kChunkSize;
}

// Reads trailers and discards them.
void HttpParser::parse_trailer_character(char character) {
  if (++trailer_bytes_ > max_head_bytes_) return fail(kHeadTooLargeStatus);
  if (!append_to_line(character)) return;
  if (line_ == "\r\n") phase_ = Phase::kDone;
  line_.clear();
}

HttpMessage HttpParser::extract_message() {
  HttpMessage message = std::move(message_);
  *this = HttpParser(kind_, max_head_bytes_, max_body_bytes_);
  return message;
}

}  // namespace rooksill::net

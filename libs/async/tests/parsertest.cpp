#include "almondridge/async/parser.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::async;

namespace {

ParseStatus parse(std::string input, std::string *body = nullptr)
{
    RequestParser parser({200, 50});
    const ParseStatus status = parser.feed(input);
    if (body != nullptr) {
        *body = parser.body();
    }
    return status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Parser)

/**
 * Request smuggling: a second request is hidden in the body of the first, and a server that
 * disagrees with a proxy on where the body ends would run it as the first caller's. Ambiguous
 * framing must be rejected.
 */
BOOST_AUTO_TEST_CASE(ambiguousFramingIsMalformed)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    for (const char *fields : {
             "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
             "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
             "Content-Length: -1\r\n\r\n",
             "Content-Length: 1x\r\n\r\na",
             "Content Length: 3\r\n\r\nabc",
             "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
         }) {
        BOOST_TEST((parse(head + fields) == ParseStatus::Malformed), fields);
    }
}

BOOST_AUTO_TEST_CASE(aChunkedBodyIsReassembled)
{
    std::string body;
    const ParseStatus status = parse("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n",
                                     &body);
    BOOST_TEST((status == ParseStatus::Done));
    BOOST_TEST(body == "abcde");
}

BOOST_AUTO_TEST_CASE(headAndBodyLimitsGiveDistinctStatuses)
{
    BOOST_TEST((parse("GET / HTTP/1.1\r\nA: " + std::string(300, 'x') + "\r\n\r\n")
                == ParseStatus::HeadTooLarge));
    BOOST_TEST(
        (parse("POST / HTTP/1.1\r\nContent-Length: 51\r\n\r\n") == ParseStatus::BodyTooLarge));
    BOOST_TEST((parse("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n"
                      + std::string(64, 'x') + "\r\n0\r\n\r\n")
                == ParseStatus::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(aRequestThatArrivesByteByByteIsTheSame)
{
    const std::string text = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok";
    RequestParser parser({});
    std::string input;
    for (const char letter : text) {
        BOOST_TEST((parser.feed(input) == ParseStatus::NeedMore));
        input += letter;
    }
    BOOST_TEST((parser.feed(input) == ParseStatus::Done));
    BOOST_TEST(parser.head().target_ == "/p");
    BOOST_TEST(parser.body() == "ok");
}

BOOST_AUTO_TEST_CASE(theNextRequestStaysInTheInput)
{
    RequestParser parser({});
    std::string input = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
    BOOST_TEST((parser.feed(input) == ParseStatus::Done));
    BOOST_TEST(input == "GET /2 HTTP/1.1\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(onlyABodyWithoutALengthMayEndWithTheConnection)
{
    ResponseParser open(false);
    std::string input = "HTTP/1.1 200 OK\r\n\r\nab";
    BOOST_TEST((open.feed(input) == ParseStatus::NeedMore));
    BOOST_TEST(open.takeBody() == "ab");
    BOOST_TEST((open.feedEnd() == ParseStatus::Done));

    ResponseParser counted(false);
    input = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab";
    BOOST_TEST((counted.feed(input) == ParseStatus::NeedMore));
    BOOST_TEST((counted.feedEnd() == ParseStatus::Malformed));

    ResponseParser chunked(false);
    input = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
    BOOST_TEST((chunked.feed(input) == ParseStatus::NeedMore));
    BOOST_TEST((chunked.feedEnd() == ParseStatus::Malformed));
}

BOOST_AUTO_TEST_SUITE_END()

== request: a length, and the next request right behind
> POST /api?x=1 HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id:  7 \r\nContent-Length: 3\r\n\r\nabc
> \r\nGET /-/ready HTTP/1.0\nhost:x\n\n
< first POST|/api?x=1|HTTP/1.1
< host: api.internal
< x-call-id: 7
< content-length: 3
< over abc
< first GET|/-/ready|HTTP/1.0
< host: x
< over 

== request: chunks, with an extension and trailers
> POST /api HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n
< first POST|/api|HTTP/1.1
< transfer-encoding: Chunked
< over abc0123456789

== answer: a watch that goes on
> HTTP/1.1 200 All is well\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n
< first HTTP/1.1|200|All is well
< transfer-encoding: chunked
< body hello!

== answer: a body without a length goes on to the end
> HTTP/1.1 200\r\n\r\nabc
< first HTTP/1.1|200|
< body abc

== request: the longest body
> POST /api HTTP/1.1\r\nContent-Length: 200\r\n\r\n\*200,y
< first POST|/api|HTTP/1.1
< content-length: 200
< over 200 bytes

== request: no version
> GET /\r\n\r\n
! 400 the first line is not of HTTP/1.1

== request: another protocol
> GET / HTTP/2.0\r\n\r\n
! 400 the first line is not of HTTP/1.1

== request: length and chunks together
> POST /api HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n
< first POST|/api|HTTP/1.1
< content-length: 3
< transfer-encoding: chunked
! 400 Content-Length and Transfer-Encoding together

== request: two lengths
> POST /api HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n
< first POST|/api|HTTP/1.1
< content-length: 3
! 400 Content-Length is no length

== request: a length below nothing
> POST /api HTTP/1.1\r\nContent-Length: -3\r\n\r\n
< first POST|/api|HTTP/1.1
! 400 Content-Length is no length

== request: an encoding that is not read
> POST /api HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n
< first POST|/api|HTTP/1.1
! 400 Transfer-Encoding is not chunked

== request: a body that says it is too long
> POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n
< first POST|/api|HTTP/1.1
< content-length: 65537
! 413 the body is too long

== request: chunks that add up to too much
> POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n10000\r\n
< first POST|/api|HTTP/1.1
< transfer-encoding: chunked
! 413 the body is too long

== request: a chunk without a size
> POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n
< first POST|/api|HTTP/1.1
< transfer-encoding: chunked
! 400 a chunk has no size

== request: a chunk longer than it says
> POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n
< first POST|/api|HTTP/1.1
< transfer-encoding: chunked
! 400 a chunk is longer than it says

== request: a field without a name
> GET / HTTP/1.1\r\n: x\r\n\r\n
< first GET|/|HTTP/1.1
! 400 a field has no name

== request: a folded field
> GET / HTTP/1.1\r\nA: x\r\n b: c\r\n\r\n
< first GET|/|HTTP/1.1
< a: x
! 400 a field has no name

== request: a control character
> GET / HTTP/1.1\r\nA: x\x00\r\n\r\n
< first GET|/|HTTP/1.1
! 400 a control character in the head

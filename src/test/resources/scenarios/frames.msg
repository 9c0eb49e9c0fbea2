== frames: answers, with and without a report and a value, and a probe's answer between them
>frame Yq1.3 OK 1840277719 -\nvalue\nof two lines
>frame GOK
>frame Yq1.4 ERROR 0 latency_ms:3\n
>frame Yq1.5 REJECTED 0 -\n
< q1.3 OK null value␊of two lines
< q1.4 ERROR latency_ms:3 
< q1.5 REJECTED null 

== frames: a frame of ours could not be used
>frame Nno such shard
< rejected no such shard

== frames: a length of nothing
> \x00\x00\x00\x00
! 400 a frame of length 0

== frames: a length that no frame has
> \x7f\x00\x00\x00
! 400 a frame of length 2130706432

== frames: an unknown letter
>frame Z
! 400 a frame of unknown letter 90

== frames: no line
>frame Yq1.3 OK 0 -
! 400 a Y frame without its line

== frames: a garbled line
>frame Yq1.3 FINE 0 -\nx
! 400 a Y frame with a garbled line

== frames: a value that is not UTF-8
>frame Yq1.3 OK 0 -\n\xff
! 400 a frame that is not UTF-8

== frames: a report that can't be read spoils nothing
>frame Yq1.3 OK 7 lat =\xff;; 3\nx
< q1.3 OK lat =ÿ;; 3 x

== frames: a score that is none
>frame Yq1.3 OK x7 -\nx
! 400 a Y frame with a garbled line

== frames: a letter, told before its frame is whole
> \x00\x00\x10\x00Z
! 400 a frame of unknown letter 90

== frames: a line, told before its frame is whole
> \x00\x00\x10\x00Yq1.3 FINE 0 -\n
! 400 a Y frame with a garbled line

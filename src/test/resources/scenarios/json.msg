== json: all kinds of values
> {"a":1,"b":[true,false,null,-2.5e3,"x"],"c":{},"d":[],"e":""} 
< {a=1.0, b=[true, false, null, -2500.0, x], c={}, d=[], e=}

== json: escapes, a surrogate pair, letters beyond ASCII
> ["\x5c"\x5c\x5c\x5c/\x5cn\x5cu00e9\x5cud83d\x5cude00ä"]
< ["\/␊é😀ä]

== json: a number alone
> 17
< 17.0

== json: it ends too soon
> {"a":1
! 400 JSON: it ends too soon

== json: nothing
> \n
! 400 JSON: it ends too soon

== json: two values
> 1 2
! 400 JSON: '2' where it may not stand

== json: a comma too many
> [1,]
! 400 JSON: ']' where it may not stand

== json: a list that ends as an object
> [1}
! 400 JSON: '}' where it may not stand

== json: a name that is no string
> {1:2}
! 400 JSON: '1' where it may not stand

== json: the same name twice
> {"a":1,"a":2}
! 400 JSON: 'a' twice in one object

== json: too deep
> \*17,[
! 400 JSON: too deep

== json: a word that does not exist
> [nul]
! 400 JSON: neither a number nor a word

== json: a number with a zero before it
> [01]
! 400 JSON: neither a number nor a word

== json: half a surrogate pair
> ["\x5cud83dx"]
! 400 JSON: half a surrogate pair

== json: an escape that does not exist
> ["\x5cq"]
! 400 JSON: an escape that does not exist

== json: a control character in a string
> ["\n"]
! 400 JSON: a control character in a string

== json: a string that is not UTF-8
> ["\xff"]
! 400 JSON: a string is not UTF-8

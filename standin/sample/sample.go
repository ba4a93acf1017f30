// Package sample fills messages and records with values, so that tests of formats cover
// every field without naming it.
package sample

import (
	"fmt"
	"reflect"
)

// Fill sets every exported field below a pointer to a value that is not zero. Slices and
// maps get one element. The same type always gets the same values.
func Fill(pointer any) { fill(reflect.ValueOf(pointer).Elem(), 1) }

// fill sets a value; n tells apart the fields of a struct.
func fill(v reflect.Value, n int) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(string(rune('a' + n%26)))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Field(i); f.CanSet() {
				fill(f, i+1)
			}
		}
	}
}

// Changes returns where a decoded value lacks a field of an earlier one or has another type
// there. Further fields are no change.
func Changes(before, now any, path string) []string {
	if reflect.TypeOf(before) != reflect.TypeOf(now) {
		return []string{fmt.Sprintf("%s: %T became %T", path, before, now)}
	}
	var all []string
	switch before := before.(type) {
	case map[any]any:
		for key, value := range before {
			other, kept := now.(map[any]any)[key]
			if !kept {
				all = append(all, fmt.Sprintf("%s.%v is gone", path, key))
				continue
			}
			all = append(all, Changes(value, other, fmt.Sprintf("%s.%v", path, key))...)
		}
	case []any:
		all = append(all, Changes(before[0], now.([]any)[0], path+"[]")...)
	}
	return all
}
